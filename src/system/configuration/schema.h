// JSON schemas of the operators' configuration and of patches to it. Rules that a schema cannot express are
// checked in configuration.cpp and patch.cpp.
#pragma once

namespace willowrill::configuration {

inline constexpr const char* schema_text = R"json({
  "type": "object",
  "required": ["configVersion", "routes", "services"],
  "properties": {
    "configVersion": {"type": "integer", "minimum": 1},
    "routes": {"type": "array", "items": {
      "type": "object",
      "required": ["host", "pathPrefix", "routeClass", "timeoutMs"],
      "properties": {
        "name": {"type": "string"},
        "host": {"type": "string", "minLength": 1},
        "pathPrefix": {"type": "string", "pattern": "^/(.*/)?$"},
        "routeClass": {"type": "string", "enum": ["safe", "non_idempotent", "streaming"]},
        "timeoutMs": {"type": "number", "minimum": 0, "exclusiveMinimum": true},
        "targetMs": {"type": "number", "minimum": 0},
        "priority": {"type": "integer", "minimum": 0},
        "service": {"type": "string", "minLength": 1},
        "distribution": {"type": "array", "minItems": 1, "items": {
          "type": "object",
          "required": ["service", "weight"],
          "properties": {
            "service": {"type": "string", "minLength": 1},
            "weight": {"type": "number", "minimum": 0}
          }}},
        "maxAttempts": {"type": "integer", "minimum": 1},
        "affinity": {"type": "boolean"},
        "resumable": {"type": "boolean"},
        "gap_aim_ms": {"type": "number", "minimum": 0},
        "homeRegions": {"type": "array", "items": {"type": "string"}}
      }}},
    "services": {"type": "array", "items": {
      "type": "object",
      "required": ["name"],
      "properties": {
        "name": {"type": "string", "minLength": 1},
        "healthPath": {"type": "string"},
        "maxConnections": {"type": "integer", "minimum": 1},
        "coldStartS": {"type": "number", "minimum": 0},
        "coldRateS": {"type": "number", "minimum": 0},
        "engine": {"type": "object", "properties": {
          "capacity": {"type": "integer", "minimum": 1},
          "cacheTokens": {"type": "integer", "minimum": 0}
        }}
      }}},
    "limits": {"type": "object", "properties": {
      "maxHeaderBytes": {"type": "integer", "minimum": 1},
      "maxBodyBytes": {"type": "integer", "minimum": 1},
      "headerTimeoutMs": {"type": "number", "minimum": 1},
      "idleTimeoutMs": {"type": "number", "minimum": 1}
    }}
  }
})json";

// Schema of an operator's patch: for each list, by its key, the items to add or replace and the names to
// remove. The items themselves are validated as part of the resulting configuration.
inline constexpr const char* patch_schema_text = R"json({
  "type": "object",
  "required": ["configVersion"],
  "additionalProperties": false,
  "properties": {
    "configVersion": {"type": "integer", "minimum": 1},
    "upsert": {"type": "object", "additionalProperties": {"type": "array", "items": {
      "type": "object",
      "required": ["name"],
      "properties": {"name": {"type": "string", "minLength": 1}}
    }}},
    "remove": {"type": "object", "additionalProperties": {"type": "array", "items": {
      "type": "string", "minLength": 1
    }}}
  }
})json";

// Schema of a patch that processes of the system exchange: `upsert` and `remove` are both present and hold
// known lists only.
inline constexpr const char* difference_schema_text = R"json({
  "type": "object",
  "required": ["configVersion", "upsert", "remove"],
  "properties": {
    "configVersion": {"type": "integer", "minimum": 1},
    "upsert": {"type": "object", "properties": {
      "routes": {"$ref": "#/definitions/items"}, "services": {"$ref": "#/definitions/items"}}},
    "remove": {"type": "object", "properties": {
      "routes": {"$ref": "#/definitions/names"}, "services": {"$ref": "#/definitions/names"}}}
  },
  "definitions": {
    "items": {"type": "array", "items": {
      "type": "object", "required": ["name"], "properties": {"name": {"type": "string"}}}},
    "names": {"type": "array", "items": {"type": "string"}}
  }
})json";

} // namespace willowrill::configuration
