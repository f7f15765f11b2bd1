/** Commands that read hosts over HTTP. */
package io.figspan.cli.operator;
