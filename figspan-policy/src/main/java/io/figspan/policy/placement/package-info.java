/** Load tracking of engines and placement of prompts. */
package io.figspan.policy.placement;
