/** Keeps the requests that all hosts together send to a cold backend server within the rate that it tolerates. */
package io.figspan.cluster.coldserver;
