/** Actions that the protocols between hosts ask their driver to carry out. */
package io.figspan.cluster.action;
