/** Loans of unused limit shares between hosts. */
package io.figspan.cluster.loan;
