/** Pure decisions on placement, admission, limits, fairness and retries. */
package io.figspan.policy;
