package io.figspan.settings;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.SettingsVersion;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A complete, valid version of the settings: the manifest, its verified parts and the tree parsed from them. Immutable.
 */
public final class SettingsSnapshot {
    private final SettingsManifest manifest;
    private final List<PartReader.ParsedPart> parsed;
    private final SettingsTree tree;

    private SettingsSnapshot(SettingsManifest manifest, List<PartReader.ParsedPart> parsed, SettingsTree tree) {
        this.manifest = manifest;
        this.parsed = parsed;
        this.tree = tree;
    }

    /**
     * Creates a snapshot after checking that every part in the manifest is available, matches its digest and does not
     * exceed the size limit, and that the tree is valid. Parts that are not in the manifest are ignored.
     */
    public static Result<SettingsSnapshot> assemble(SettingsManifest manifest, Collection<SettingsPart> available) {
        return assemble(manifest, available, Optional.empty());
    }

    /**
     * As {@link #assemble(SettingsManifest, Collection)}, but reuses the parsed form of parts unchanged since {@code
     * previous}.
     */
    static Result<SettingsSnapshot> assemble(
            SettingsManifest manifest, Collection<SettingsPart> available, Optional<SettingsSnapshot> previous) {
        Map<String, SettingsPart> byName = new HashMap<>();
        available.forEach(part -> byName.put(part.name(), part));
        List<PartReader.ParsedPart> parsed = new ArrayList<>();
        for (SettingsManifest.PartDigest wanted : manifest.parts()) {
            SettingsPart part = byName.get(wanted.name());
            Optional<String> fault = findFault(wanted, part);
            if (fault.isPresent()) {
                return refused(manifest, fault.get());
            }
            parsed.add(previous.flatMap(snapshot -> snapshot.parsed(part)).orElseGet(() -> PartReader.parse(part)));
        }
        try {
            SettingsTree tree = SettingsTreeReader.merge(parsed);
            return Result.ok(new SettingsSnapshot(manifest, List.copyOf(parsed), tree));
        } catch (FigspanException e) {
            return refused(manifest, e.location() + ": " + e.detail());
        }
    }

    /** Creates a snapshot of the given parts; throws a {@link FigspanException} if they are invalid. */
    public static SettingsSnapshot of(long version, List<SettingsPart> parts) {
        return assemble(SettingsManifest.of(version, parts), parts).orThrow(Location.of("settings"));
    }

    public SettingsVersion version() {
        return manifest.version();
    }

    public SettingsManifest manifest() {
        return manifest;
    }

    /** The parts in the order of the manifest. */
    public List<SettingsPart> parts() {
        return parsed.stream().map(PartReader.ParsedPart::part).toList();
    }

    public Optional<SettingsPart> part(String name) {
        return parts().stream().filter(part -> part.name().equals(name)).findFirst();
    }

    /**
     * The parts of this snapshot that another manifest lists with the same name and digest. Only the other parts of
     * that manifest have to be fetched.
     */
    public List<SettingsPart> partsSharedWith(SettingsManifest other) {
        return parts().stream()
                .filter(part -> other.parts().contains(new SettingsManifest.PartDigest(part.name(), part.sha256())))
                .toList();
    }

    public SettingsTree tree() {
        return tree;
    }

    @Override
    public String toString() {
        return "SettingsSnapshot[version " + version() + ", " + parsed.size() + " parts]";
    }

    private Optional<PartReader.ParsedPart> parsed(SettingsPart part) {
        return parsed.stream()
                .filter(candidate -> candidate.part().equals(part))
                .findFirst();
    }

    private static Optional<String> findFault(SettingsManifest.PartDigest wanted, SettingsPart part) {
        if (part == null) {
            return Optional.of("part " + wanted.name() + " is missing");
        }
        if (part.sizeBytes() > SettingsPart.MAX_BYTES) {
            return Optional.of("part " + wanted.name() + " has " + part.sizeBytes() + " bytes, more than "
                    + SettingsPart.MAX_BYTES);
        }
        if (!part.sha256().equals(wanted.sha256())) {
            return Optional.of("part " + wanted.name() + " has the digest " + part.sha256() + ", the manifest says "
                    + wanted.sha256());
        }
        return Optional.empty();
    }

    private static Result<SettingsSnapshot> refused(SettingsManifest manifest, String fault) {
        String detail = "version " + manifest.version() + " is refused: " + fault;
        return Result.failed(Problem.notRun(ProblemKind.SETTINGS_INVALID, detail));
    }
}
