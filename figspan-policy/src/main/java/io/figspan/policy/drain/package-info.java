/** The planned stop of a host: which requests it still serves and when it answers the rest. */
package io.figspan.policy.drain;
