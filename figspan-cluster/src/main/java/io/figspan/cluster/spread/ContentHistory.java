package io.figspan.cluster.spread;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.PartChange;
import io.figspan.cluster.message.PartDigest;
import io.figspan.core.id.SettingsVersion;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The last few versions that were in force, for deltas to hosts that are behind, and a cache of encoded changes. Parts
 * that did not change are shared between the versions.
 */
final class ContentHistory {
    /** At 870 changes a day, eight versions cover hosts that are up to a quarter of an hour behind. */
    static final int MAX_VERSIONS = 8;

    /** Encoded changes kept; each version usually changes one part. */
    private static final int MAX_CACHED_CHANGES = 32;

    /** Bound of the cached bytes, so that whole parts do not pile up. */
    private static final int MAX_CACHED_BYTES = 4 * 1024 * 1024;

    private final Deque<Entry> versions = new ArrayDeque<>();
    private final Map<ChangeKey, PartChange> changes = new LinkedHashMap<>(16, 0.75f, true);
    private int cachedBytes;

    /** One version with the digest of each part. */
    record Entry(SettingsContent content, Map<String, Bytes> digests) {}

    private record ChangeKey(Bytes base, Bytes digest) {}

    /** Adds a newer version, reusing the arrays of parts that did not change. */
    void add(SettingsContent content) {
        Map<String, Bytes> digests = new LinkedHashMap<>();
        Map<String, Bytes> parts = new LinkedHashMap<>();
        content.parts().forEach((name, bytes) -> {
            Bytes digest = sha256(bytes);
            digests.put(name, digest);
            parts.put(name, partWithDigest(digest).orElse(bytes));
        });
        versions.addLast(new Entry(SettingsContent.of(content.version(), parts), digests));
        if (versions.size() > MAX_VERSIONS) {
            versions.removeFirst();
        }
    }

    Entry newest() {
        return versions.isEmpty() ? new Entry(SettingsContent.NONE, Map.of()) : versions.getLast();
    }

    Optional<Entry> find(SettingsVersion version) {
        return versions.stream()
                .filter(entry -> entry.content().version().equals(version))
                .findFirst();
    }

    /** A part of any kept version by its digest. */
    Optional<Bytes> partWithDigest(Bytes digest) {
        for (Entry entry : versions) {
            for (Map.Entry<String, Bytes> named : entry.digests().entrySet()) {
                if (named.getValue().equals(digest)) {
                    return Optional.of(entry.content().parts().get(named.getKey()));
                }
            }
        }
        return Optional.empty();
    }

    /** Parts of {@code to} that are new or different in {@code from}. */
    static List<PartDigest> changed(Map<String, Bytes> from, Map<String, Bytes> to) {
        List<PartDigest> changed = new ArrayList<>();
        to.forEach((name, digest) -> {
            if (!digest.equals(from.get(name))) {
                changed.add(new PartDigest(name, digest));
            }
        });
        return changed;
    }

    /** The encoded change of a part, as a delta if the base is kept and the delta is smaller. */
    PartChange encode(String name, Bytes digest, Bytes target, Bytes baseDigest) {
        PartChange cached = changes.get(new ChangeKey(baseDigest, digest));
        if (cached != null) {
            return new PartChange(name, digest, cached.base(), cached.content());
        }
        Optional<Bytes> base = baseDigest.size() == 0 ? Optional.empty() : partWithDigest(baseDigest);
        PartChange change = base.map(old -> new PartChange(name, digest, baseDigest, PartDelta.between(old, target)))
                .filter(delta -> delta.content().size() < target.size() / 2)
                .orElseGet(() -> new PartChange(name, digest, Bytes.EMPTY, PartDelta.whole(target)));
        remember(baseDigest, change);
        return change;
    }

    /** Keeps a change that was received, so that it is passed on without encoding it again. */
    void remember(Bytes baseDigest, PartChange change) {
        PartChange replaced = changes.put(new ChangeKey(baseDigest, change.digest()), change);
        cachedBytes += change.content().size()
                - (replaced == null ? 0 : replaced.content().size());
        while (changes.size() > MAX_CACHED_CHANGES || (cachedBytes > MAX_CACHED_BYTES && changes.size() > 1)) {
            ChangeKey oldest = changes.keySet().iterator().next();
            cachedBytes -= changes.remove(oldest).content().size();
        }
    }

    static Bytes sha256(Bytes bytes) {
        try {
            return Bytes.wrap(MessageDigest.getInstance("SHA-256").digest(bytes.unsafeArray()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing from the Java runtime", e);
        }
    }
}
