/** Work that a host has at backend servers, as hosts tell each other of it. */
package io.figspan.core.work;
