// Package bookingspb is the generated code of bookings.proto.
package bookingspb
