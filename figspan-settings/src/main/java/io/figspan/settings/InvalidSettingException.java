package io.figspan.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import java.util.Optional;

/** Thrown when a value is not valid for its key. {@link PartReader} reports it with the location of the key. */
final class InvalidSettingException extends FigspanException {
    private static final long serialVersionUID = 1L;

    InvalidSettingException(String detail) {
        super(ProblemKind.SETTINGS_INVALID, detail, Location.of("settings"));
    }

    static String suggestion(Optional<String> nearest) {
        return nearest.map(name -> "; the nearest is '" + name + "'").orElse("");
    }

    static String describe(JsonNode node) {
        return switch (node.getNodeType()) {
            case OBJECT -> "a table";
            case ARRAY -> "an array";
            case STRING -> "the string \"" + node.textValue() + "\"";
            case NUMBER -> "the number " + node.asText();
            case BOOLEAN -> node.asText();
            default -> "a value of another type";
        };
    }
}
