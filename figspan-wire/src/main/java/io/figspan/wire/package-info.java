/** Peer protocol between hosts: MessagePack messages in authenticated TCP frames and in datagrams. */
package io.figspan.wire;
