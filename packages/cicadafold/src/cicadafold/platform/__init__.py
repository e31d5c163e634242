"""The platform's services, each behind one narrow interface."""
