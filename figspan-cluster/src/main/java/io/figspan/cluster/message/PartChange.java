package io.figspan.cluster.message;

/**
 * Encoded settings part.
 *
 * @param name name of the part in the manifest
 * @param digest SHA-256 of the whole part after the change
 * @param base SHA-256 of the part that {@code content} is a delta against; empty when {@code content} is the whole part
 * @param content deflated delta or whole part
 */
public record PartChange(String name, Bytes digest, Bytes base, Bytes content) {}
