/** Timeline events and the buffer that holds them. */
package io.figspan.core.event;
