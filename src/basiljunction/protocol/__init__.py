"""Wire formats: validated documents, HTTP API models and message codecs."""
