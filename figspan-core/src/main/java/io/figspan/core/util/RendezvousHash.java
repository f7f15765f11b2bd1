package io.figspan.core.util;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing, also known as highest random weight hashing (Thaler and Ravishankar, 1998). When a candidate is
 * removed, only the keys assigned to it are reassigned.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** Returns the weight of a candidate for a key; candidates with higher weights are preferred. */
    public static long weight(String key, String candidate) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(candidate, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /**
     * Returns all candidates in order of preference, the highest weight first. The order depends only on the key and on
     * {@code toString()} of the candidates.
     */
    public static <T> List<T> order(String key, Collection<T> candidates) {
        record Ranked<T>(T candidate, long weight, String text) {}
        return candidates.stream()
                .map(candidate -> new Ranked<>(candidate, weight(key, candidate.toString()), candidate.toString()))
                .sorted(Comparator.<Ranked<T>>comparingLong(Ranked::weight)
                        .reversed()
                        .thenComparing(Ranked::text))
                .map(Ranked::candidate)
                .toList();
    }
}
