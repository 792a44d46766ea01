package cases

// ordersConfig has one route, of orders, which may run once at most.
const ordersConfig = `{"version":7,
 "routes":[{"name":"feed-order","host":"ficu95.example","prefix":"/puxa403/","kind":"unsafe","timeoutMs":3000,"goalMs":300,"priority":1,
  "service":"bookings","maxAttempts":1,"public":false,"sticky":false,"resumable":false}],
 "services":[{"name":"bookings","healthPath":"/health","maxConns":120,"proto":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

// readsConfig has one route, of reads, which may be repeated.
const readsConfig = `{"version":7,
 "routes":[{"name":"stock-read","host":"ficu95.example","prefix":"/cufi504/","kind":"safe","timeoutMs":1500,"goalMs":300,"priority":1,
  "service":"stock-ledger","maxAttempts":2,"public":false,"sticky":false,"resumable":false}],
 "services":[{"name":"stock-ledger","healthPath":"/health","maxConns":96,"proto":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`
