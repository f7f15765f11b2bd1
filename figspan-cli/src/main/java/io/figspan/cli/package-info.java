/** The command line of the operator: figspan. */
package io.figspan.cli;
