package io.figspan.cluster.spread;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.PartChange;
import io.figspan.cluster.message.PartDigest;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.SettingsVersion;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The pull in flight: assembles one version from what one peer sends and checks each digest. */
final class SettingsPullState {
    /** Most parts of one version, from the design page. */
    private static final int MAX_PARTS = 64;

    private final PeerAddress source;
    private final ContentHistory history;
    private final Map<String, Bytes> parts = new HashMap<>();
    private final Map<String, Bytes> missing = new LinkedHashMap<>();
    private SettingsVersion version = SettingsVersion.NONE;
    private int inlineLeft;
    private boolean hasManifest;
    private long progressAtNanos;

    SettingsPullState(PeerAddress source, ContentHistory history, long nowNanos) {
        this.source = source;
        this.history = history;
        this.progressAtNanos = nowNanos;
    }

    PeerAddress source() {
        return source;
    }

    SettingsVersion version() {
        return version;
    }

    long progressAtNanos() {
        return progressAtNanos;
    }

    boolean isWaitingForManifest() {
        return !hasManifest;
    }

    boolean isComplete() {
        return hasManifest && missing.isEmpty();
    }

    SettingsContent content() {
        return SettingsContent.of(version, parts);
    }

    void takeManifest(PeerMessage.SettingsManifest manifest, long nowNanos) {
        ContentHistory.Entry newest = history.newest();
        SettingsVersion have = newest.content().version();
        boolean ownBase = manifest.base().equals(have);
        if (!ownBase && !manifest.base().equals(SettingsVersion.NONE)) {
            throw invalid("the manifest is relative to version " + manifest.base() + " instead of " + have);
        }
        hasManifest = true;
        version = manifest.version();
        progressAtNanos = nowNanos;
        inlineLeft = Math.min(manifest.inlineParts(), manifest.changed().size());
        if (ownBase) {
            parts.putAll(newest.content().parts());
            manifest.removed().forEach(parts::remove);
        }
        for (PartDigest part : manifest.changed()) {
            Optional<Bytes> held = history.partWithDigest(part.digest());
            if (held.isPresent()) {
                parts.put(part.name(), held.get());
            } else {
                parts.remove(part.name());
                missing.put(part.name(), part.digest());
            }
        }
        if (parts.size() + missing.size() > MAX_PARTS) {
            throw invalid("version " + version + " has more than " + MAX_PARTS + " parts");
        }
    }

    void takePart(PartChange change, long nowNanos) {
        progressAtNanos = nowNanos;
        inlineLeft = Math.max(0, inlineLeft - 1);
        Bytes expected = missing.get(change.name());
        if (expected == null) {
            return;
        }
        Bytes part = restore(change);
        if (!ContentHistory.sha256(part).equals(expected)) {
            throw invalid("part " + change.name() + " does not match its digest in the manifest");
        }
        missing.remove(change.name());
        parts.put(change.name(), part);
        history.remember(change.base(), change);
    }

    /** The next part to ask for, once the parts that come unasked are through. */
    Optional<PeerMessage> nextPartPull() {
        if (!hasManifest || inlineLeft > 0 || missing.isEmpty()) {
            return Optional.empty();
        }
        String name = missing.keySet().iterator().next();
        Bytes base = history.newest().digests().getOrDefault(name, Bytes.EMPTY);
        return Optional.of(new PeerMessage.SettingsPartPull(version, name, base));
    }

    /**
     * Stops waiting for the parts that should have come unasked and returns the request for the first missing one;
     * nothing when there is no manifest, or when single parts were asked for before.
     */
    Optional<PeerMessage> skipInline(long nowNanos) {
        if (inlineLeft == 0) {
            return Optional.empty();
        }
        inlineLeft = 0;
        progressAtNanos = nowNanos;
        return nextPartPull();
    }

    private Bytes restore(PartChange change) {
        if (change.base().size() == 0) {
            return PartDelta.inflate(change.content());
        }
        Bytes base = history.partWithDigest(change.base())
                .orElseThrow(() -> invalid("part " + change.name() + " is a delta against an unknown part"));
        return PartDelta.apply(base, change.content());
    }

    private static FigspanException invalid(String detail) {
        return new FigspanException(ProblemKind.SETTINGS_INVALID, detail, Location.of("settings from a peer"));
    }
}
