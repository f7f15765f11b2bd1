/** Finds the prompt parts that crash model engines, together with the other hosts, and keeps them from the engines. */
package io.figspan.cluster.quarantine;
