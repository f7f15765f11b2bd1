package io.figspan.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.ModelId;
import io.figspan.core.util.NearestName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Types of setting values. {@link #read} converts a TOML value and throws {@link InvalidSettingException} if it is
 * invalid.
 */
public enum SettingType {
    /** A string, read as {@link String}. */
    TEXT("a string") {
        @Override
        Object read(JsonNode node, SettingKey key) {
            return requireText(node);
        }
    },
    /** One of the choices of the key, read as {@link String}. */
    CHOICE("a string") {
        @Override
        Object read(JsonNode node, SettingKey key) {
            String text = requireText(node);
            if (!key.choices().contains(text)) {
                throw new InvalidSettingException("'" + text + "' is not one of " + String.join(", ", key.choices())
                        + InvalidSettingException.suggestion(NearestName.suggest(text, key.choices())));
            }
            return text;
        }
    },
    /** A boolean, read as {@link Boolean}. */
    FLAG("true or false") {
        @Override
        Object read(JsonNode node, SettingKey key) {
            require(node.isBoolean(), node);
            return node.booleanValue();
        }
    },
    /** A whole number, read as {@link Long}. */
    INTEGER("a whole number") {
        @Override
        Object read(JsonNode node, SettingKey key) {
            require(node.isIntegralNumber() && node.canConvertToLong(), node);
            return key.requireInRange(node.longValue());
        }
    },
    /** A number, read as {@link Double}. */
    NUMBER("a number") {
        @Override
        Object read(JsonNode node, SettingKey key) {
            require(node.isNumber(), node);
            return key.requireInRange(node.doubleValue());
        }
    },
    /** A secret string, read as {@link Secret}; the range of its key limits the length in characters. */
    SECRET("a string") {
        @Override
        Object read(JsonNode node, SettingKey key) {
            if (!node.isTextual()) {
                throw new InvalidSettingException("expected a string");
            }
            key.requireSecretLength(node.textValue().length());
            return new Secret(node.textValue());
        }
    },
    /** A table from host id to availability zone, read as a list of {@link RosterEntry} ordered by host id. */
    ROSTER("a table of host = \"availability zone\"") {
        @Override
        Object read(JsonNode node, SettingKey key) {
            require(node.isObject(), node);
            List<RosterEntry> entries = new ArrayList<>();
            for (Map.Entry<String, JsonNode> field : node.properties()) {
                entries.add(new RosterEntry(
                        HostId.of(field.getKey()), AvailabilityZoneId.of(requireText(field.getValue()))));
            }
            entries.sort(Comparator.comparing(RosterEntry::host));
            return List.copyOf(entries);
        }
    },
    /** A table of models, read as a list of {@link ModelSetting} ordered by model id. */
    MODELS("a table of models, each with share and version") {
        @Override
        Object read(JsonNode node, SettingKey key) {
            require(node.isObject(), node);
            List<ModelSetting> models = new ArrayList<>();
            double shareSum = 0;
            for (Map.Entry<String, JsonNode> field : node.properties()) {
                ModelSetting model = readModel(field.getKey(), field.getValue());
                shareSum += model.share();
                models.add(model);
            }
            if (shareSum > 1 + SHARE_ROUNDING) {
                throw new InvalidSettingException(
                        "the shares of the models add up to " + shareSum + ", which is more than 1");
            }
            models.sort(Comparator.comparing(ModelSetting::model));
            return List.copyOf(models);
        }
    };

    /** Tolerance for the rounding error in a sum of decimal shares. */
    private static final double SHARE_ROUNDING = 1e-6;

    private static final Set<String> MODEL_FIELDS = Set.of("share", "version", "sizeMegabytes");

    private final String expected;

    SettingType(String expected) {
        this.expected = expected;
    }

    abstract Object read(JsonNode node, SettingKey key);

    /** Description of a valid value, for error messages. */
    public String expected() {
        return expected;
    }

    /** Tells whether the TOML value is a table rather than a single value. */
    public boolean isTable() {
        return this == ROSTER || this == MODELS;
    }

    Object parseDefault(String text) {
        return switch (this) {
            case TEXT, CHOICE -> text;
            case FLAG -> Boolean.valueOf(text);
            case INTEGER -> Long.valueOf(text.replace("_", ""));
            case NUMBER -> Double.valueOf(text);
            case SECRET -> new Secret(text);
            case ROSTER, MODELS -> List.of();
        };
    }

    void require(boolean condition, JsonNode node) {
        if (!condition) {
            throw new InvalidSettingException(
                    "expected " + expected + ", found " + InvalidSettingException.describe(node));
        }
    }

    private static String requireText(JsonNode node) {
        if (!node.isTextual()) {
            throw new InvalidSettingException("expected a string, found " + InvalidSettingException.describe(node));
        }
        return node.textValue();
    }

    private static ModelSetting readModel(String name, JsonNode node) {
        if (!node.isObject()) {
            throw new InvalidSettingException("model '" + name + "' is not a table with share and version");
        }
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String field = names.next();
            if (!MODEL_FIELDS.contains(field)) {
                throw new InvalidSettingException("model '" + name + "' has the unknown key '" + field + "'"
                        + InvalidSettingException.suggestion(NearestName.suggest(field, MODEL_FIELDS)));
            }
        }
        JsonNode share = node.path("share");
        boolean validShare = share.isNumber() && share.doubleValue() >= 0 && share.doubleValue() <= 1;
        if (!validShare) {
            throw new InvalidSettingException("the share of model '" + name + "' is not a number from 0 to 1");
        }
        JsonNode version = node.path("version");
        if (!version.isTextual() || version.textValue().isEmpty()) {
            throw new InvalidSettingException("the version of model '" + name + "' is not a string");
        }
        JsonNode size = node.path("sizeMegabytes");
        boolean validSize = size.isMissingNode() || (size.isIntegralNumber() && size.longValue() > 0);
        if (!validSize) {
            throw new InvalidSettingException("sizeMegabytes of model '" + name + "' is not a whole number above 0");
        }
        return new ModelSetting(
                ModelId.of(name),
                share.doubleValue(),
                version.textValue(),
                size.asLong(ModelSetting.DEFAULT_SIZE_MEGABYTES));
    }
}
