package io.figspan.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.SettingsVersion;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Lists the parts of one version of the settings with their digests. Its JSON form is
 * {@code {"version":7,"parts":[{"name":"fleet.toml","sha256":"..."}]}}.
 */
public record SettingsManifest(SettingsVersion version, List<PartDigest> parts) {
    /** Maximum number of parts of one version. */
    public static final int MAX_PARTS = 64;

    /** Key of the manifest in the configuration service. */
    public static final String KEY = "settings/manifest";

    private static final Location LOCATION = Location.of("manifest");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Name and SHA-256 (lower-case hexadecimal) of one part. */
    public record PartDigest(String name, String sha256) {
        private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,128}");
        private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

        public PartDigest {
            if (name == null || !NAME.matcher(name).matches()) {
                throw invalid("the name of a part is not 1 to 128 letters, digits and . _ -");
            }
            if (sha256 == null || !SHA_256.matcher(sha256).matches()) {
                throw invalid("the digest of part " + name + " is not 64 lower-case hexadecimal digits");
            }
        }
    }

    public SettingsManifest {
        parts = List.copyOf(parts);
        if (version.equals(SettingsVersion.NONE)) {
            throw invalid("the version is not above 0");
        }
        if (parts.isEmpty() || parts.size() > MAX_PARTS) {
            throw invalid("the manifest names " + parts.size() + " parts, outside 1 to " + MAX_PARTS);
        }
        Set<String> names = new HashSet<>();
        for (PartDigest part : parts) {
            if (!names.add(part.name())) {
                throw invalid("part " + part.name() + " is named twice");
            }
        }
    }

    /** Creates the manifest for the given parts. */
    public static SettingsManifest of(long version, List<SettingsPart> parts) {
        List<PartDigest> digests = parts.stream()
                .map(part -> new PartDigest(part.name(), part.sha256()))
                .toList();
        return new SettingsManifest(new SettingsVersion(version), digests);
    }

    /** Key of a part in the configuration service. */
    public static String partKey(String name) {
        return "settings/parts/" + name;
    }

    /**
     * Parses the JSON form; throws a {@link FigspanException} of kind {@link ProblemKind#SETTINGS_INVALID} if
     * malformed.
     */
    public static SettingsManifest fromJson(String json) {
        JsonNode document = parse(json);
        JsonNode version = document.path("version");
        if (!version.isIntegralNumber() || !version.canConvertToLong() || version.longValue() < 1) {
            throw invalid("the version is not a whole number above 0");
        }
        JsonNode parts = document.path("parts");
        if (!parts.isArray()) {
            throw invalid("parts is not an array");
        }
        List<PartDigest> digests = new ArrayList<>();
        for (JsonNode part : parts) {
            digests.add(new PartDigest(
                    part.path("name").textValue(), part.path("sha256").textValue()));
        }
        return new SettingsManifest(new SettingsVersion(version.longValue()), digests);
    }

    public String toJson() {
        ObjectNode document = MAPPER.createObjectNode();
        document.put("version", version.number());
        ArrayNode array = document.putArray("parts");
        parts.forEach(part -> array.addObject().put("name", part.name()).put("sha256", part.sha256()));
        return document.toString();
    }

    private static JsonNode parse(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw new FigspanException(ProblemKind.SETTINGS_INVALID, "the manifest is not JSON", LOCATION, e);
        }
    }

    private static FigspanException invalid(String detail) {
        return new FigspanException(ProblemKind.SETTINGS_INVALID, detail, LOCATION);
    }
}
