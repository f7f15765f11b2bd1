/** Decides which backend server gets which request, which wait and which are refused. */
package io.figspan.policy.placing;
