/** Model orders to engines: the pure plan and the steward that reconciles engines with it. */
package io.figspan.control.steward;
