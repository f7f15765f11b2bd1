/** Time-limited loans of unused rate limit shares between hosts. */
package io.figspan.cluster.loan;
