"""Stand-ins for the platform and the backend servers, for the demo and tests."""
