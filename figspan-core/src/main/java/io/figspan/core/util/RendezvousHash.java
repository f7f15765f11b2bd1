package io.figspan.core.util;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous (highest random weight) hashing after Thaler and Ravishankar, 1998. Removing a candidate moves only the
 * keys that it held.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** Weight of a candidate for a key; candidates with higher weights come first. */
    public static long weight(String key, String candidate) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(candidate, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /** All candidates, best first. The order depends only on the key and the candidates' text form. */
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
