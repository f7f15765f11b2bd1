/** Group membership and failure detection after SWIM (Das et al., 2002) and Lifeguard (Dadgar et al., 2017). */
package io.figspan.cluster.membership;
