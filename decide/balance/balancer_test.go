package balance
