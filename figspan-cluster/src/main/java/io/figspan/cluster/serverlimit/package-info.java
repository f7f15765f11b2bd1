/** Keeps the requests that all hosts together send to a backend server within the rate that it has named. */
package io.figspan.cluster.serverlimit;
