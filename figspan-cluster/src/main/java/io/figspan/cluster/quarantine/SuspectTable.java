package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.SuspectId;
import io.figspan.cluster.message.SuspectKind;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The suspects, a bounded number of each kind. */
final class SuspectTable {
    /** The part of a full table that is evicted for new suspects. */
    private static final int EVICTIONS_OF_TABLE = 16;

    /** Suspects of a message of gossip that are always the most important ones; the others take turns. */
    private static final int IMPORTANT_PER_GOSSIP = 16;

    private static final int OTHERS_PER_GOSSIP = EvidencePages.MAX_SUSPECTS - IMPORTANT_PER_GOSSIP;

    /** Changes are repeated at the shorter interval for this long, so that lost messages don't matter. */
    static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** A suspect without a new crash for this long is no longer one. */
    static final long SUSPICION_EXPIRY_NANOS = TimeUnit.MINUTES.toNanos(10);

    static final long QUARANTINE_EXPIRY_NANOS = TimeUnit.DAYS.toNanos(1);

    private static final Comparator<Suspect> LEAST_HARMFUL =
            Comparator.comparing(Suspect::crashCount).thenComparing(Suspect::lastCrashNanos);

    private static final Comparator<Suspect> MOST_IMPORTANT = Comparator.comparing(Suspect::isQuarantined)
            .thenComparing(Suspect::crashCount)
            .thenComparing(Suspect::lastChangeNanos)
            .reversed();

    private final Map<SuspectKind, Map<SuspectId, Suspect>> byKind = new EnumMap<>(SuspectKind.class);
    private final EvidenceVersion version;
    private int gossipOffset;

    SuspectTable() {
        this(new EvidenceVersion());
    }

    SuspectTable(EvidenceVersion version) {
        this.version = version;
        for (SuspectKind kind : SuspectKind.values()) {
            byKind.put(kind, new LinkedHashMap<>());
        }
    }

    /** The version of the evidence on all suspects. */
    long version() {
        return version.current();
    }

    List<Suspect> all() {
        List<Suspect> all = new ArrayList<>();
        byKind.values().forEach(suspects -> all.addAll(suspects.values()));
        return all;
    }

    Optional<Suspect> find(SuspectId id) {
        return Optional.ofNullable(byKind.get(id.kind()).get(id));
    }

    /** Returns the suspect, which is added because of a crash at {@code crashedNanos} if it is new. */
    Suspect findOrAdd(SuspectId id, long crashedNanos, long nowNanos) {
        Map<SuspectId, Suspect> suspects = byKind.get(id.kind());
        Suspect known = suspects.get(id);
        if (known != null) {
            return known;
        }
        if (suspects.size() >= id.kind().maxTracked()) {
            leastHarmful(suspects.values(), id.kind()).forEach(evicted -> suspects.remove(evicted.id()));
            version.changed();
        }
        Suspect added = new Suspect(id, version, crashedNanos, nowNanos);
        suspects.put(id, added);
        return added;
    }

    /**
     * Some at once, since one crash may add thousands. A quarantined suspect is evicted only if a quarter of the table
     * would not be left for new ones.
     */
    private static List<Suspect> leastHarmful(Collection<Suspect> suspects, SuspectKind kind) {
        long quarantined = suspects.stream().filter(Suspect::isQuarantined).count();
        boolean evictsQuarantined = quarantined > kind.maxTracked() * 3L / 4;
        return suspects.stream()
                .filter(suspect -> suspect.isQuarantined() == evictsQuarantined)
                .sorted(LEAST_HARMFUL)
                .limit(Math.max(1, kind.maxTracked() / EVICTIONS_OF_TABLE))
                .toList();
    }

    /** Forgets the suspects without recent crashes; returns whether there were any. */
    boolean removeExpired(long nowNanos) {
        boolean hasChanged = false;
        for (Map<SuspectId, Suspect> suspects : byKind.values()) {
            hasChanged |= suspects.values()
                    .removeIf(suspect -> nowNanos - suspect.lastCrashNanos() >= expiryNanos(suspect.isQuarantined()));
        }
        if (hasChanged) {
            version.changed();
        }
        return hasChanged;
    }

    /** Time after the latest crash after which a suspect is forgotten. */
    static long expiryNanos(boolean isQuarantined) {
        return isQuarantined ? QUARANTINE_EXPIRY_NANOS : SUSPICION_EXPIRY_NANOS;
    }

    long quarantinedCount(SuspectKind kind) {
        return byKind.get(kind).values().stream().filter(Suspect::isQuarantined).count();
    }

    /** These suspects, the most important ones first. */
    static List<Suspect> byImportance(Collection<Suspect> from) {
        return from.stream().sorted(MOST_IMPORTANT).toList();
    }

    /** All suspects with evidence to report, the most important ones first. */
    List<Suspect> reportable(long nowNanos) {
        return all().stream()
                .filter(suspect -> suspect.crashCount() > 0 || hasChangedLately(suspect, nowNanos))
                .sorted(MOST_IMPORTANT)
                .toList();
    }

    /** The suspects for one round of gossip: the most important ones, and others in turns. */
    List<Suspect> forGossip(long nowNanos) {
        List<Suspect> reportable = reportable(nowNanos);
        if (reportable.size() <= IMPORTANT_PER_GOSSIP) {
            return reportable;
        }
        List<Suspect> chosen = new ArrayList<>(reportable.subList(0, IMPORTANT_PER_GOSSIP));
        List<Suspect> others = reportable.subList(IMPORTANT_PER_GOSSIP, reportable.size());
        Stream.concat(others.stream().skip(gossipOffset % others.size()), others.stream())
                .limit(Math.min(OTHERS_PER_GOSSIP, others.size()))
                .forEach(chosen::add);
        List<Suspect> page = EvidencePages.first(chosen);
        gossipOffset = (gossipOffset + page.size() - IMPORTANT_PER_GOSSIP) % others.size();
        return page;
    }

    private static boolean hasChangedLately(Suspect suspect, long nowNanos) {
        return nowNanos - suspect.lastChangeNanos() < REPEAT_NANOS;
    }
}
