package io.figspan.cli.settings;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.settings.SettingsManifest;
import io.figspan.settings.SettingsPart;
import io.figspan.settings.SettingsTree;
import io.figspan.settings.SettingsTreeReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Reads part files. A directory stands for all {@code *.toml} files in it. */
final class PartFiles {
    private static final String SUFFIX = ".toml";

    private PartFiles() {}

    /** Reads the parts with the written path as name; throws when the tree could not be published. */
    static List<SettingsPart> read(List<String> paths) {
        List<SettingsPart> parts = new ArrayList<>();
        for (String path : paths) {
            for (Path file : filesOf(Path.of(path))) {
                parts.add(readFile(file));
            }
        }
        if (parts.isEmpty() || parts.size() > SettingsManifest.MAX_PARTS) {
            throw usage(
                    "there are " + parts.size() + " part files, outside 1 to " + SettingsManifest.MAX_PARTS, "files");
        }
        return parts;
    }

    static SettingsTree readTree(List<String> paths) {
        return SettingsTreeReader.read(read(paths));
    }

    /** The part under the name that it is published with: the name of its file. */
    static SettingsPart withFileName(SettingsPart part) {
        return new SettingsPart(Path.of(part.name()).getFileName().toString(), part.text());
    }

    private static List<Path> filesOf(Path path) {
        if (!Files.isDirectory(path)) {
            return List.of(path);
        }
        try (Stream<Path> files = Files.list(path)) {
            return files.filter(file -> file.toString().endsWith(SUFFIX))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw usage("the directory cannot be read", path.toString());
        }
    }

    private static SettingsPart readFile(Path file) {
        try {
            long sizeBytes = Files.size(file);
            if (sizeBytes > SettingsPart.MAX_BYTES) {
                String detail = "the file has " + sizeBytes + " bytes, more than " + SettingsPart.MAX_BYTES;
                throw new FigspanException(ProblemKind.SETTINGS_INVALID, detail, Location.of(file.toString()));
            }
            return SettingsPart.of(file.toString(), Files.readAllBytes(file));
        } catch (IOException e) {
            throw usage("the file cannot be read", file.toString());
        }
    }

    private static FigspanException usage(String detail, String source) {
        return new FigspanException(ProblemKind.USAGE, detail, Location.of(source));
    }
}
