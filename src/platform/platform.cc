// Placeholder translation unit until the HTTP adapters land.
