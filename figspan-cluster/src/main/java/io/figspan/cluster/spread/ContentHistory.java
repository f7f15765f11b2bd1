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
 * Recent settings versions that were in force, as bases of deltas for hosts that are behind, and an LRU cache of
 * encoded changes. Versions share the arrays of unchanged parts.
 */
final class ContentHistory {
    /** At 870 changes a day, eight versions cover hosts that are up to 15 minutes behind. */
    static final int MAX_VERSIONS = 8;

    /** Maximum number of cached changes; a version usually changes one part. */
    private static final int MAX_CACHED_CHANGES = 32;

    /** Maximum size of the cached changes, since whole parts are large. */
    private static final int MAX_CACHED_BYTES = 4 * 1024 * 1024;

    private final Deque<Entry> versions = new ArrayDeque<>();
    private final Map<ChangeKey, PartChange> cachedChanges = new LinkedHashMap<>(16, 0.75f, true);
    private int cachedBytes;

    /** One version with the SHA-256 of each part by its name. */
    record Entry(SettingsContent content, Map<String, Bytes> digests) {}

    private record ChangeKey(Bytes base, Bytes digest) {}

    /** Adds a newer version, reusing the arrays of unchanged parts, and drops the oldest beyond the limit. */
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

    /** The content of the part with this SHA-256 in any kept version. */
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

    /** Parts of {@code to} that {@code from} lacks or has with another digest. */
    static List<PartDigest> changed(Map<String, Bytes> from, Map<String, Bytes> to) {
        List<PartDigest> changed = new ArrayList<>();
        to.forEach((name, digest) -> {
            if (!digest.equals(from.get(name))) {
                changed.add(new PartDigest(name, digest));
            }
        });
        return changed;
    }

    /** Encodes a part: as a delta if the base is kept and the delta is less than half the part, otherwise whole. */
    PartChange encode(String name, Bytes digest, Bytes target, Bytes baseDigest) {
        PartChange cached = cachedChanges.get(new ChangeKey(baseDigest, digest));
        if (cached != null) {
            return new PartChange(name, digest, cached.base(), cached.content());
        }
        Optional<Bytes> base = baseDigest.size() == 0 ? Optional.empty() : partWithDigest(baseDigest);
        PartChange change = base.map(old -> new PartChange(name, digest, baseDigest, PartDelta.encode(old, target)))
                .filter(delta -> delta.content().size() < target.size() / 2)
                .orElseGet(() -> new PartChange(name, digest, Bytes.EMPTY, PartDelta.deflateWhole(target)));
        cacheChange(baseDigest, change);
        return change;
    }

    /** Caches an encoded change, so that it can be sent again without another encoding. */
    void cacheChange(Bytes baseDigest, PartChange change) {
        PartChange replaced = cachedChanges.put(new ChangeKey(baseDigest, change.digest()), change);
        cachedBytes += change.content().size()
                - (replaced == null ? 0 : replaced.content().size());
        while (cachedChanges.size() > MAX_CACHED_CHANGES
                || (cachedBytes > MAX_CACHED_BYTES && cachedChanges.size() > 1)) {
            ChangeKey oldest = cachedChanges.keySet().iterator().next();
            cachedBytes -= cachedChanges.remove(oldest).content().size();
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
