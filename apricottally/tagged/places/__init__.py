"""Where new flows may go: evacuated zones and allowed regions of routes."""
