/** Lifecycle of one host process, from startup to graceful shutdown. */
package io.figspan.control.lifecycle;
