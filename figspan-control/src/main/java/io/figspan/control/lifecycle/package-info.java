/** The life of one host process, from start to graceful shutdown. */
package io.figspan.control.lifecycle;
