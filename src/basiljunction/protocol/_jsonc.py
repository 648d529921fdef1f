"""Parses and validates JSON with comments; errors give line and field."""

import dataclasses
import json
import pathlib
from typing import Any
from typing import TypeVar

import json5
from json5 import loader as json5_loader
from json5 import model as json5_model
import pydantic
import pydantic_core

MAX_DOCUMENT_CHARS = 1 << 20
"""Longest document that is parsed, in characters."""
MAX_NESTING_LEVELS = 64
"""Deepest nesting of objects and lists in a document."""
MAX_QUOTED_VALUE_CHARS = 80
"""Longest part of a rejected value that an error quotes."""

_ModelT = TypeVar("_ModelT", bound=pydantic.BaseModel)

ValuePath = tuple[str | int, ...]
"""Keys and indexes from the root of a document to a value."""


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentProblem:
    """One error in a document.

    Attributes:
        source: Name of the file or other origin.
        line: Line, from 1; 0 if it is unknown.
        field: Dotted path of the field; empty for the whole document.
        found: The value that the document has there.
        allowed: The values that are allowed there.
    """

    source: str
    line: int
    field: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Returns the error as one line of text."""
        place = f"{self.source}:{self.line}" if self.line else self.source
        name = self.field or "document"
        return f"{place}: {name}: found {self.found}; allowed: {self.allowed}"


class DocumentError(ValueError):
    """Raised if a document is malformed or invalid.

    Attributes:
        problems: All errors in the document.
    """

    def __init__(self, problems: tuple[DocumentProblem, ...]) -> None:
        """Creates the error.

        Args:
            problems: All errors in the document; at least one.
        """
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedDocument:
    """A parsed document that is not validated yet.

    Attributes:
        source: Name of the file or other origin.
        value: Content as plain Python values.
        line_by_path: Line of each value, from 1.
    """

    source: str
    value: Any
    line_by_path: dict[ValuePath, int]

    def find_line(self, path: ValuePath) -> int:
        """Returns the line of a value, or else of its nearest known parent.

        Returns:
            The line, from 1; 0 if no line is known.
        """
        for length in range(len(path), -1, -1):
            line = self.line_by_path.get(path[:length])
            if line is not None:
                return line
        return 0


class _PlainValueConverter:
    """Converts a syntax tree of json5 to plain values and records their lines.

    Attributes:
        line_by_path: Line of each converted value, from 1.
    """

    def __init__(self, source: str) -> None:
        """Creates a converter for the document called ``source``."""
        self.line_by_path: dict[ValuePath, int] = {}
        self._source = source

    def convert(self, node: json5_model.Node, path: ValuePath) -> Any:  # noqa: ANN401 - any JSON value
        """Converts a node of the tree to a plain value.

        Raises:
            DocumentError: The nesting is too deep, or a key occurs twice.
        """
        self.line_by_path.setdefault(path, node._tok.lineno)  # noqa: SLF001 - the library offers the line nowhere else
        if len(path) > MAX_NESTING_LEVELS:
            raise self._document_error(
                node, path, "deep nesting", f"{MAX_NESTING_LEVELS} levels"
            )
        if isinstance(node, json5_model.JSONObject):
            return self._convert_object(node, path)
        if isinstance(node, json5_model.JSONArray):
            return [
                self.convert(item, (*path, index))
                for index, item in enumerate(node.values)
            ]
        return json5_loader.DefaultLoader().load(node)

    def _convert_object(
        self, node: json5_model.JSONObject, path: ValuePath
    ) -> dict[str, Any]:
        """Converts an object to a dict; a duplicate key is an error."""
        result: dict[str, Any] = {}
        for key_node, item in zip(node.keys, node.values, strict=True):
            key = str(json5_loader.DefaultLoader().load(key_node))
            inner = (*path, key)
            if key in result:
                raise self._document_error(
                    key_node, inner, "a duplicate key", "each key once"
                )
            self.line_by_path[inner] = key_node._tok.lineno  # noqa: SLF001 - as above
            result[key] = self.convert(item, inner)
        return result

    def _document_error(
        self, node: json5_model.Node, path: ValuePath, found: str, allowed: str
    ) -> DocumentError:
        """Creates the error for a node, with its line."""
        line = node._tok.lineno  # noqa: SLF001 - as above
        return DocumentError(
            (
                DocumentProblem(
                    self._source, line, format_path(path), found, allowed
                ),
            )
        )


def format_path(path: ValuePath) -> str:
    """Formats a path as dotted text, such as ``lease.voucher_s``."""
    return ".".join(str(part) for part in path)


def parse_document(text: str, *, source: str) -> ParsedDocument:
    """Parses JSON with comments, without validating it.

    Args:
        text: Content of the document.
        source: Name of the document in errors.

    Raises:
        DocumentError: The text is too long, nested too deeply, or malformed.
    """
    if len(text) > MAX_DOCUMENT_CHARS:
        raise _whole_document_error(
            source, "a longer document", f"{MAX_DOCUMENT_CHARS} characters"
        )
    try:
        root = json5.loads(text, loader=json5_loader.ModelLoader())
        converter = _PlainValueConverter(source)
        value = converter.convert(root.value, ())
    except DocumentError:
        raise
    except RecursionError:
        raise _whole_document_error(
            source, "deep nesting", f"{MAX_NESTING_LEVELS} levels"
        ) from None
    except ValueError as error:
        raise _syntax_error(source, text, error) from error
    return ParsedDocument(source, value, converter.line_by_path)


def _whole_document_error(
    source: str, found: str, allowed: str
) -> DocumentError:
    """Creates an error that concerns the whole document."""
    return DocumentError((DocumentProblem(source, 0, "", found, allowed),))


def _syntax_error(source: str, text: str, error: ValueError) -> DocumentError:
    """Creates the error for text that json5 rejects.

    Of the errors that json5 lists, only the first is kept.
    """
    lines = [line.strip() for line in str(error).splitlines()]
    if len(lines) > 1 and lines[0].startswith("There were multiple"):
        lines = lines[2:3]
    number = getattr(error, "lineno", 0) or text.count("\n") + 1
    found = " ".join(lines[:1])
    return DocumentError(
        (DocumentProblem(source, number, "", found, "JSON with comments"),)
    )


def validate_document(kind: type[_ModelT], document: ParsedDocument) -> _ModelT:
    """Validates a parsed document as a model.

    Raises:
        DocumentError: States line, field, value found and values allowed.
    """
    try:
        return kind.model_validate_json(json.dumps(document.value))
    except pydantic.ValidationError as error:
        problems = tuple(
            _describe_problem(kind, document, detail)
            for detail in error.errors(include_url=False)
        )
        raise DocumentError(problems) from error


def read_text_file(path: pathlib.Path) -> str:
    """Returns the text of a file.

    Raises:
        DocumentError: The file cannot be read or is not UTF-8 text.
    """
    try:
        return path.read_bytes().decode()
    except OSError as error:
        found = error.strerror or str(error)
        raise _whole_document_error(
            str(path), found, "a readable file"
        ) from error
    except UnicodeDecodeError as error:
        raise _whole_document_error(
            str(path), "bytes that are not UTF-8", "UTF-8 text"
        ) from error


def load_jsonc_model(kind: type[_ModelT], text: str, *, source: str) -> _ModelT:
    """Parses JSON with comments and validates it as a model.

    Args:
        kind: Class of the model.
        text: Content of the document.
        source: Name of the document in errors.

    Raises:
        DocumentError: The document is malformed or invalid.
    """
    return validate_document(kind, parse_document(text, source=source))


def load_json_model(
    kind: type[_ModelT], body: bytes, *, source: str
) -> _ModelT:
    """Validates plain JSON as a model; errors carry no line numbers.

    Args:
        kind: Class of the model.
        body: Content of the document.
        source: Name of the document in errors.

    Raises:
        DocumentError: The document is malformed or invalid.
    """
    try:
        return kind.model_validate_json(body)
    except pydantic.ValidationError as error:
        document = ParsedDocument(source, None, {})
        problems = tuple(
            _describe_problem(kind, document, detail)
            for detail in error.errors(include_url=False)
        )
        raise DocumentError(problems) from error


def _describe_problem(
    kind: type[pydantic.BaseModel],
    document: ParsedDocument,
    detail: pydantic_core.ErrorDetails,
) -> DocumentProblem:
    """Converts an error of pydantic to a problem of the document."""
    path: ValuePath = tuple(detail["loc"])
    return DocumentProblem(
        source=document.source,
        line=document.find_line(path),
        field=format_path(path),
        found=_describe_found(detail),
        allowed=_describe_allowed(kind, path, detail),
    )


def _describe_found(detail: pydantic_core.ErrorDetails) -> str:
    """Describes the rejected value, shortened if it is long."""
    match detail["type"]:
        case "missing":
            return "nothing"
        case "extra_forbidden":
            return "an unknown field"
    text = repr(detail["input"])
    if len(text) > MAX_QUOTED_VALUE_CHARS:
        return text[:MAX_QUOTED_VALUE_CHARS] + "..."
    return text


def _describe_allowed(
    kind: type[pydantic.BaseModel],
    path: ValuePath,
    detail: pydantic_core.ErrorDetails,
) -> str:
    """Describes which values or fields are allowed at the path."""
    match detail["type"]:
        case "missing":
            return "this field is required"
        case "extra_forbidden":
            return "one of " + ", ".join(_allowed_field_names(kind, path))
    return detail["msg"].removeprefix("Value error, ")


def _allowed_field_names(
    kind: type[pydantic.BaseModel], path: ValuePath
) -> tuple[str, ...]:
    """Returns the field names of the model that contains the path."""
    model = kind
    for part in path[:-1]:
        if isinstance(part, int):
            continue
        field = model.model_fields.get(part)
        inner = None if field is None else _find_model(field.annotation)
        if inner is None:
            continue
        model = inner
    return tuple(model.model_fields)


def _find_model(annotation: Any) -> type[pydantic.BaseModel] | None:  # noqa: ANN401 - any annotation
    """Returns the first pydantic model in an annotation, or None."""
    if isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return annotation
    for argument in getattr(annotation, "__args__", ()):
        inner = _find_model(argument)
        if inner is not None:
            return inner
    return None
