# The installed package: find_package(cornelloom), then link cornelloom::coord and the like.
include("${CMAKE_CURRENT_LIST_DIR}/cornelloom_find.cmake")
include("${CMAKE_CURRENT_LIST_DIR}/cornelloomTargets.cmake")
