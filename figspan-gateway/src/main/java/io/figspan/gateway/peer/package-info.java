/** Communication between hosts: membership, reports of placed work, and transfer of newer store items. */
package io.figspan.gateway.peer;
