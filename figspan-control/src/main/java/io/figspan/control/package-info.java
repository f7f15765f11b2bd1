/** Pure protocols towards backend servers: tickets, holds, groups, leaving and model orders. */
package io.figspan.control;
