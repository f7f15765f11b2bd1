/** Pure protocols between hosts: membership, settings spread and limit loans. */
package io.figspan.cluster;
