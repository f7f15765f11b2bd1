/** Plays load on hosts with the real placers before model engines that work in passes, in logical time. */
package io.figspan.bench.placing;
