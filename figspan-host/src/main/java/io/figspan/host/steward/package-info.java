/** Driver of the steward: asks stewarded engines for reports and sends them model orders. */
package io.figspan.host.steward;
