package io.figspan.settings;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.ProblemKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Parses part files and merges them into a {@link SettingsTree}. All keys of one node (the fleet, an organisation, a
 * service or a place) must be in the same part; only the roster and the models may be in separate parts. Each fault is
 * an exception of kind {@link ProblemKind#SETTINGS_INVALID} with the file and, if known, the line and column.
 */
public final class SettingsTreeReader {
    /** Maximum number of faults in a report; limits its size. Further faults are dropped. */
    public static final int MAX_FAULTS = 100;

    private SettingsTreeReader() {}

    /**
     * Result of checking a set of parts.
     *
     * @param tree the merged tree; empty if there is any fault
     * @param faults at most {@link #MAX_FAULTS} faults in the order of the parts
     */
    public record Report(Optional<SettingsTree> tree, List<FigspanException> faults) {}

    /** Parses and merges the parts; throws the first fault. */
    public static SettingsTree read(List<SettingsPart> parts) {
        return merge(parseAll(parts));
    }

    /** Parses and merges the parts and collects the faults instead of throwing them. */
    public static Report check(List<SettingsPart> parts) {
        return checkParsed(parseAll(parts));
    }

    /** Merges parsed parts; throws the first fault. */
    static SettingsTree merge(List<PartReader.ParsedPart> parts) {
        Report report = checkParsed(parts);
        if (!report.faults().isEmpty()) {
            throw report.faults().get(0);
        }
        return report.tree().orElseThrow();
    }

    private static List<PartReader.ParsedPart> parseAll(List<SettingsPart> parts) {
        return parts.stream().map(PartReader::parse).toList();
    }

    private static Report checkParsed(List<PartReader.ParsedPart> parts) {
        List<FigspanException> faults = new ArrayList<>();
        parts.forEach(part -> faults.addAll(part.faults()));
        if (!faults.isEmpty()) {
            return refused(faults);
        }
        SettingsTreeMerger merge = new SettingsTreeMerger(parts);
        SettingsTree tree = merge.run();
        return merge.faults().isEmpty() ? new Report(Optional.of(tree), List.of()) : refused(merge.faults());
    }

    private static Report refused(List<FigspanException> faults) {
        return new Report(Optional.empty(), List.copyOf(faults.subList(0, Math.min(MAX_FAULTS, faults.size()))));
    }
}
