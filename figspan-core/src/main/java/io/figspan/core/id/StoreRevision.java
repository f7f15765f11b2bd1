package io.figspan.core.id;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import java.util.Comparator;

/**
 * A point in the history of the store. A store that returns from an older copy begins a new epoch, in which it gives
 * out numbers again, so revisions are compared by their epochs first.
 *
 * @param epoch number of the store's history; 0 if the store names none
 * @param number increases with each change within an epoch; 0 before the first
 */
public record StoreRevision(long epoch, long number) implements Comparable<StoreRevision> {
    /** The revision before all others. */
    public static final StoreRevision NONE = new StoreRevision(0, 0);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::epoch).thenComparingLong(StoreRevision::number);

    public StoreRevision {
        if (epoch < 0 || number < 0) {
            throw invalid(epoch + "." + number);
        }
    }

    /** Parses the output of {@link #toString()}; throws an {@code INVALID_VALUE} exception for anything else. */
    public static StoreRevision parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != 2) {
            throw invalid(text);
        }
        try {
            return new StoreRevision(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
        } catch (NumberFormatException e) {
            throw invalid(text);
        }
    }

    public boolean isNewerThan(StoreRevision other) {
        return compareTo(other) > 0;
    }

    /** The newer one of two revisions. */
    public static StoreRevision newest(StoreRevision one, StoreRevision other) {
        return one.isNewerThan(other) ? one : other;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return epoch + "." + number;
    }

    private static FigspanException invalid(String text) {
        return new FigspanException(
                ProblemKind.INVALID_VALUE,
                "'" + text + "' is not of the form EPOCH.NUMBER with numbers of at least 0",
                Location.of("store revision"));
    }
}
