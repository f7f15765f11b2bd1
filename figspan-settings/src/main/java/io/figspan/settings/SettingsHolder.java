package io.figspan.settings;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.SettingsVersion;
import java.util.Collection;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the settings in force. Adopts only a valid version that is newer than the one in force and otherwise keeps the
 * last valid one. Thread-safe.
 */
public final class SettingsHolder {
    private static final Logger LOG = LoggerFactory.getLogger(SettingsHolder.class);

    private SettingsSnapshot inForce;
    private Problem lastRefusal;
    private SettingsVersion lastRefusedVersion = SettingsVersion.NONE;

    /**
     * Adopts the version given by a manifest and its parts if it is valid and newer. Compares the version first, so
     * that the parts of an outdated version are not parsed.
     *
     * @return the adopted snapshot; or a problem of kind {@link ProblemKind#SETTINGS_OUTDATED} for a version that is
     *     not newer than the one in force, or {@link ProblemKind#SETTINGS_INVALID} for an invalid one
     */
    public Result<SettingsSnapshot> offer(SettingsManifest manifest, Collection<SettingsPart> parts) {
        if (!manifest.version().isNewerThan(version())) {
            return Result.failed(outdated(manifest));
        }
        Result<SettingsSnapshot> assembled = SettingsSnapshot.assemble(manifest, parts, inForce());
        if (assembled instanceof Result.Ok<SettingsSnapshot> ok) {
            return offer(ok.value());
        }
        recordRefusal(manifest.version(), ((Result.Failed<SettingsSnapshot>) assembled).problem());
        return assembled;
    }

    /** Adopts a snapshot if it is newer than the one in force. A snapshot is valid by construction. */
    public synchronized Result<SettingsSnapshot> offer(SettingsSnapshot snapshot) {
        if (!snapshot.version().isNewerThan(version())) {
            return Result.failed(outdated(snapshot.manifest()));
        }
        inForce = snapshot;
        if (!lastRefusedVersion.isNewerThan(snapshot.version())) {
            lastRefusal = null;
        }
        LOG.info("[settings] version {} is in force", snapshot.version());
        return Result.ok(snapshot);
    }

    /** The version in force, or {@link SettingsVersion#NONE}. */
    public synchronized SettingsVersion version() {
        return inForce == null ? SettingsVersion.NONE : inForce.version();
    }

    public synchronized Optional<SettingsSnapshot> inForce() {
        return Optional.ofNullable(inForce);
    }

    /** The tree in force; {@link SettingsTree#EMPTY} before the first adoption. */
    public synchronized SettingsTree tree() {
        return inForce == null ? SettingsTree.EMPTY : inForce.tree();
    }

    /** The problem of the highest rejected version; empty if the version in force is at least as high. */
    public synchronized Optional<Problem> lastRefusal() {
        return Optional.ofNullable(lastRefusal);
    }

    /**
     * Records that a version was rejected before it could be offered, for example because the digest of a part does not
     * match the manifest. Ignored when a version at least as high is in force.
     */
    public synchronized void recordRefusal(SettingsVersion version, Problem problem) {
        boolean stillNewer = version.isNewerThan(version());
        if (stillNewer && !lastRefusedVersion.isNewerThan(version)) {
            lastRefusal = problem;
            lastRefusedVersion = version;
        }
        LOG.error("[settings] {}; version {} stays in force", problem.detail(), version());
    }

    private synchronized Problem outdated(SettingsManifest manifest) {
        boolean sameVersion = manifest.version().equals(version());
        boolean otherContent = sameVersion && !manifest.equals(inForce.manifest());
        String reason = otherContent ? "is already in force with different parts" : "is not newer than the version";
        String detail =
                "version " + manifest.version() + " " + reason + (otherContent ? "" : " in force, " + version());
        return Problem.notRun(ProblemKind.SETTINGS_OUTDATED, detail);
    }
}
