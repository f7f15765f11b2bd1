/** Events of the time line. */
package io.figspan.core.event;
