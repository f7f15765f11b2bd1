package io.figspan.core.util;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Suggests the known name closest to a mistyped one, by edit distance (Levenshtein, 1966). */
public final class NearestName {
    /** Maximum edit distance of a suggested name. */
    private static final int MAX_DISTANCE_EDITS = 3;

    private NearestName() {}

    /** Returns the closest known name, the first by name among equals, or empty if none is close enough. */
    public static Optional<String> suggest(String typed, Collection<String> known) {
        return known.stream()
                .filter(name -> distanceEdits(typed, name) <= MAX_DISTANCE_EDITS)
                .min(Comparator.<String>comparingInt(name -> distanceEdits(typed, name))
                        .thenComparing(Comparator.naturalOrder()));
    }

    static int distanceEdits(String a, String b) {
        int[] previous = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] current = new int[b.length() + 1];
            current[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitution = previous[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                current[j] = Math.min(substitution, Math.min(previous[j], current[j - 1]) + 1);
            }
            previous = current;
        }
        return previous[b.length()];
    }
}
