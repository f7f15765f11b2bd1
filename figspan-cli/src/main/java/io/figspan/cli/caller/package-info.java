/** Commands that act as a caller: {@code load}, {@code prompt} and {@code order}. */
package io.figspan.cli.caller;
