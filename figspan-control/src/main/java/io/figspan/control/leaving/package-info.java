/** Backend servers that leave. */
package io.figspan.control.leaving;
