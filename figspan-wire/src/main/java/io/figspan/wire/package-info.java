/** MessagePack frames over TCP between hosts. */
package io.figspan.wire;
