// Package evacuation keeps which failure domains are evacuated: nothing new is started on their
// backend servers until the operator takes the request back.
package evacuation
