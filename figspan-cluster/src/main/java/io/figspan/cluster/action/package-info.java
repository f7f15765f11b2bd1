/** Actions that the peer protocols request from their driver. */
package io.figspan.cluster.action;
