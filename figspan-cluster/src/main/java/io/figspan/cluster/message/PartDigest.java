package io.figspan.cluster.message;

/** Name and SHA-256 of one settings part. */
public record PartDigest(String name, Bytes digest) {}
